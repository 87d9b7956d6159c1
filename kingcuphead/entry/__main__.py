"""Run the entry daemon with `python -m kingcuphead.entry`."""

import gc
import sys

# Modules and classes live until the process ends: they neither need collections while
# they are loaded nor an examination in later ones.
gc.disable()

from kingcuphead.entry._main import main  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(main())
