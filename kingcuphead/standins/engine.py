"""Stand-in model engine that speaks the chat completions API.

Run it with ``python -m kingcuphead.standins.engine --port PORT --name NAME
--models a,b``.
"""

import argparse

from tornado.web import Application

from kingcuphead.standins._engine import CrashMode, Engine, EngineSettings
from kingcuphead.standins._engine_handlers import (
    ChatHandler,
    EngineRecordsHandler,
    EngineSwitchesHandler,
    LoadHandler,
    ModelsHandler,
    OrdersHandler,
)
from kingcuphead.standins._serving import make_parser, serve

#: Version of the models that the command line names without one.
FIRST_VERSION = "1"


def make_application(engine: Engine) -> Application:
    """Return the application over an engine."""
    shared = {"engine": engine}
    return Application(
        [
            ("/v1/chat/completions", ChatHandler, shared),
            ("/v1/models", ModelsHandler, shared),
            ("/load", LoadHandler, shared),
            ("/orders", OrdersHandler, shared),
            ("/switches", EngineSwitchesHandler, shared),
            ("/records", EngineRecordsHandler, shared),
        ],
        log_function=lambda _: None,
    )


def parse_models(text: str) -> dict[str, str]:
    """Read models from ``name,name=version``; the version may be left out."""
    pairs = (item.partition("=") for item in text.split(","))
    return {name: version or FIRST_VERSION for name, _, version in pairs}


def parse_settings(arguments: argparse.Namespace) -> EngineSettings:
    """Return the settings that the command line gives."""
    return EngineSettings(
        name=arguments.name,
        models=arguments.models,
        concurrency=arguments.concurrency,
        token_interval=arguments.token_interval_ms / 1000,
        prefill_per_token=arguments.prefill_us_per_token / 1_000_000,
        answer_tokens=arguments.answer_tokens,
        cache_blocks=arguments.cache_blocks,
        load_lag=arguments.load_lag_ms / 1000,
        crash_marker=arguments.crash_marker,
        crash_mode=CrashMode(arguments.crash_mode),
        checks_fencing=not arguments.ignore_fencing,
    )


def make_engine_parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    parser = make_parser("Stand-in model engine.")
    add = parser.add_argument
    add("--name", required=True, help="name of the engine")
    add("--models", type=parse_models, required=True, help="a,b or a=2,b=1")
    add("--concurrency", type=int, default=8, help="slots of the batch")
    add("--token-interval-ms", type=float, default=5.0, help="time between tokens")
    add("--prefill-us-per-token", type=float, default=50.0, help="uncached tokens")
    add("--answer-tokens", type=int, default=64, help="natural length of answers")
    add("--cache-blocks", type=int, default=4096, help="blocks of 64 bytes")
    add("--load-lag-ms", type=float, default=500.0, help="age of load reports")
    add("--crash-marker", default="", help="text in a prompt that causes a crash")
    add("--crash-mode", choices=[*CrashMode], default=CrashMode.EXIT, help="effect")
    add("--ignore-fencing", action="store_true", help="obey stale orders")
    return parser


def main() -> None:
    """Serve until SIGTERM."""
    arguments = make_engine_parser().parse_args()
    engine = Engine(parse_settings(arguments))
    serve(make_application(engine), arguments.port, f"engine {arguments.name}")


if __name__ == "__main__":
    main()
