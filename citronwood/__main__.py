"""Entry point of ``python -m citronwood``."""

import sys

from citronwood.cli.application import main

if __name__ == "__main__":
    sys.exit(main())
