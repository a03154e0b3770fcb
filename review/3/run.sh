#!/bin/sh
number=3
. "$(dirname "$0")/../stand-ins/run.sh"
