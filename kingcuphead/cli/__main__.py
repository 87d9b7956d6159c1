"""Run the tool: `python -m kingcuphead.cli`."""

import sys

from kingcuphead.cli._main import main

sys.exit(main())
