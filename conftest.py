"""Import the standard library's platform before tests of platform/."""

import platform

assert platform.python_implementation()
