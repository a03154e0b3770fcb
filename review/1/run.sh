#!/bin/sh
number=1
. "$(dirname "$0")/../stand-ins/run.sh"
