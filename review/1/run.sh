#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 review/1/case.py
