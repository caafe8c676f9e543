"""Tests of goldcresthoist.control."""
