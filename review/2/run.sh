#!/bin/sh
number=2
. "$(dirname "$0")/../stand-ins/run.sh"
