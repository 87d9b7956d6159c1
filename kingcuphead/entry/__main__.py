"""Run the entry daemon with `python -m kingcuphead.entry`."""

import sys

from kingcuphead.entry._main import main

sys.exit(main())
