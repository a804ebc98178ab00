"""The HTTP interface at which backend servers announce themselves."""
