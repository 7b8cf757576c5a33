#!/bin/sh
exec java ${LACEWINGTHREAD_JAVA_OPTIONS:-} -jar "$0" "$@"
