"""Starts chalkgrade from a checkout: `python3 run.py --config FILE`.

Dependencies are read from target/deps and byte code from target/pycache, which the build in
deploy/service.toml creates. Controllers have no writable disk, and compiling at each start would
take seconds on a quarter of a core.
"""

import gc
import os
import sys

# Imports create no garbage, so collections during them only delay the start. The daemon enables
# the garbage collector again once it serves.
gc.disable()
ROOT = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = "--warm" not in sys.argv
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")
sys.path[:0] = [os.path.join(ROOT, "src"), os.path.join(ROOT, "target", "deps")]
# The protocols are plain HTTP. Without this, importing the HTTP library parses every CA
# certificate of the system, a third of the CPU time of a start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

# Each settings file in deploy/ enables a subsystem.
for name in os.listdir(os.path.join(ROOT, "deploy")):
    if name.endswith(".xml") and not name.endswith(".example.xml"):
        variable = f"CHALKGRADE_{name.removesuffix('.xml').upper()}"
        os.environ.setdefault(variable, os.path.join(ROOT, "deploy", name))

from chalkgrade.cli import main  # noqa: E402

if __name__ == "__main__":
    if "--warm" in sys.argv:  # used by the build: compile everything that a start imports
        import chalkgrade.serving.daemon  # noqa: F401 - imported only for its byte code; `serve` imports it late
    else:
        main()
