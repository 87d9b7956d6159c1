"""Run the entry daemon with `python -m kingcuphead.entry`."""

import gc
import sys

# Modules and classes live until the process ends, so the garbage collector needn't run
# while they are loaded, nor examine them later.
gc.disable()

from kingcuphead.entry._main import main  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(main())
