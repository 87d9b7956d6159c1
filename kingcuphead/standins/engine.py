"""Stand-in model engine with the chat completions API.

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

#: Version of models for which the command line gives none.
DEFAULT_VERSION = "1"


def make_application(engine: Engine) -> Application:
    """Return the HTTP application of an engine."""
    handler_arguments = {"engine": engine}
    return Application(
        [
            ("/v1/chat/completions", ChatHandler, handler_arguments),
            ("/v1/models", ModelsHandler, handler_arguments),
            ("/load", LoadHandler, handler_arguments),
            ("/orders", OrdersHandler, handler_arguments),
            ("/switches", EngineSwitchesHandler, handler_arguments),
            ("/records", EngineRecordsHandler, handler_arguments),
        ],
        log_function=lambda _: None,
    )


def parse_models(text: str) -> dict[str, str]:
    """Parse models from ``name,name=version``; the version is optional."""
    pairs = (item.partition("=") for item in text.split(","))
    return {name: version or DEFAULT_VERSION for name, _, version in pairs}


def parse_settings(arguments: argparse.Namespace) -> EngineSettings:
    """Return the engine settings from the command-line arguments."""
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
    """Return the command-line parser."""
    parser = make_parser("Stand-in model engine.")
    add = parser.add_argument
    add("--name", required=True, help="name of the engine")
    add("--models", type=parse_models, required=True, help="models, as a,b or a=2,b=1")
    add("--concurrency", type=int, default=8, help="slots of the batch")
    add("--token-interval-ms", type=float, default=5.0, help="time between tokens")
    add(
        "--prefill-us-per-token",
        type=float,
        default=50.0,
        help="prefill time of an uncached token",
    )
    add("--answer-tokens", type=int, default=64, help="default length of answers")
    add(
        "--cache-blocks", type=int, default=4096, help="prefix cache, in 64-byte blocks"
    )
    add("--load-lag-ms", type=float, default=500.0, help="maximum age of load reports")
    add("--crash-marker", default="", help="text in a prompt that causes a crash")
    add("--crash-mode", choices=[*CrashMode], default=CrashMode.EXIT, help="effect")
    add("--ignore-fencing", action="store_true", help="apply stale orders")
    return parser


def main() -> None:
    """Run the engine until SIGTERM or SIGINT."""
    arguments = make_engine_parser().parse_args()
    engine = Engine(parse_settings(arguments))
    serve(make_application(engine), arguments.port, f"engine {arguments.name}")


if __name__ == "__main__":
    main()
