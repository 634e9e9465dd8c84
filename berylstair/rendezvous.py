"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

__all__ = ['rank', 'score', 'weighted_rank']

_DIGEST_BYTES = 8
_HASH_RANGE = float(1 << (8 * _DIGEST_BYTES))


def score(key: bytes, name: str) -> int:
    """Hashes a key together with a candidate's name.

    Args:
        key: Key to be mapped to a candidate.
        name: Name of the candidate.

    Returns:
        A uniform 64-bit integer, the same in every process.
    """
    digest = blake2b(key, digest_size=_DIGEST_BYTES, key=name.encode()[:64]).digest()
    return int.from_bytes(digest, 'big')


def rank(key: bytes, names: Iterable[str], count: int | None = None) -> list[str]:
    """Orders candidates for a key, first choice first.

    Args:
        key: Key to be mapped to candidates.
        names: Names of the candidates.
        count: Number of candidates to return; None for all.

    Returns:
        The candidates with the highest scores, in descending order of score.
    """
    ordered = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ordered[:count]


def weighted_rank(key: bytes, names: Sequence[str], weights: Sequence[float]) -> list[str]:
    """Orders candidates so that each ranks first for a share of keys equal to its weight.

    Args:
        key: Key to be mapped to candidates.
        names: Names of the candidates.
        weights: Positive weights, one per candidate.

    Returns:
        All candidates, first choice first.
    """
    cost_by_candidate = {
        name: -math.log((score(key, name) + 1) / (_HASH_RANGE + 1)) / weight
        for name, weight in zip(names, weights, strict=True)
    }
    return sorted(names, key=cost_by_candidate.__getitem__)
