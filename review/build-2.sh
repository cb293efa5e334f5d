#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js, which need no build.
exit 0
