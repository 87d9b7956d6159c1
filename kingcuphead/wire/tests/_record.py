"""Prints what a version of the code writes, for `test_recorded.py`.

Run it with the checkout of the version to be recorded, here e2e3d33:

    git worktree add /tmp/recorded e2e3d33
    PYTHONPATH=/tmp/recorded python kingcuphead/wire/tests/_record.py \
        > kingcuphead/wire/tests/e2e3d33.json
"""

import json
import sys

# The folder of this file is the first one that is searched, and the samples are those
# of today; all other modules are those of the recorded version.
import _samples  # type: ignore[import-not-found]

import kingcuphead

if __name__ == "__main__":
    print("recording", kingcuphead.__file__, file=sys.stderr)
    print(json.dumps(_samples.make_record(), indent=1, ensure_ascii=False))
