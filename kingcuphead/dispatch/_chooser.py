"""Chooses one of the targets that a request may be placed on."""

import random

from kingcuphead.dispatch._messages import DispatchSettings, PlacementRequest
from kingcuphead.dispatch._options import Option, choose_cheapest, choose_near_cheapest
from kingcuphead.dispatch._room import RoomEstimator
from kingcuphead.dispatch._spread import choose_by_room


class OptionChooser:
    """Chooses by cost, and by room where a busy service calls for it.

    Parameters
    ----------
    settings
        Weights of the cost function.
    rooms
        Estimates the room at targets.
    rng
        Source of randomness.
    """

    def __init__(
        self, settings: DispatchSettings, rooms: RoomEstimator, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rooms = rooms
        self._rng = rng

    def choose(self, request: PlacementRequest, options: list[Option]) -> Option:
        """Return one of the options; there is at least one."""
        settings = self._settings
        if settings.spreads_load:
            rooms = [
                self._rooms.describe_room(request, each.target) for each in options
            ]
            option = choose_by_room(options, rooms, settings.cost_tolerance, self._rng)
            if option is not None:
                return option
        if settings.has_contended_engines and request.prompt_tokens:
            return choose_near_cheapest(options, settings.cost_tolerance, self._rng)
        return choose_cheapest(options)
