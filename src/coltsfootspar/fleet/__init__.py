"""Node and replica processes of a deployment whose hosts join through seeds.

What keeps organisations within their rates is imported on first use, so that
deployments without limits do not load it.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "allowances": ["create_seat_allowance_service"],
        "lenders": ["create_seat_lender_service"],
    },
)
