"""Run the daemon with `python -m kingcuphead.daemon`."""

import sys

from kingcuphead.daemon import main

if __name__ == "__main__":
    sys.exit(main())
