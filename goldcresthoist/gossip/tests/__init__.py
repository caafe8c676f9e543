"""Tests of goldcresthoist.gossip."""
