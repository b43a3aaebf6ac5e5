#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. They use the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
