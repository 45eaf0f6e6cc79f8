#!/bin/sh
# Builds the stand-ins and the cases of all scripts. Needs only a JDK 17.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes harness/*.java
