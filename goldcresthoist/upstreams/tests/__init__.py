"""Tests of goldcresthoist.upstreams."""
