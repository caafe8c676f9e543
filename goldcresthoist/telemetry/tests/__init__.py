"""Tests of goldcresthoist.telemetry."""
