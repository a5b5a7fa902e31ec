"""What a control process serves, one part a module; `roles/control.py` joins them."""
