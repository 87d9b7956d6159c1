"""Runs the tool as `python -m kingcuphead.cli`."""

import sys

from kingcuphead.cli._main import main

sys.exit(main())
