"""List all log events: number, level, text."""

ROWS = (
    # Process, 1 to 99.
    (1, "INFO", "entry process started"),
    (2, "INFO", "entry process is stopping"),
    (3, "INFO", "entry process stopped"),
    (4, "ERROR", "settings were rejected"),
    (5, "ERROR", "unexpected exception"),
    # Peers, 100 to 199.
    (100, "WARNING", "message from a peer was dropped"),
    (101, "INFO", "peer is live"),
    (102, "WARNING", "peer is suspected"),
    # Log, 200 to 299.
    (200, "WARNING", "log service is unavailable"),
    (201, "INFO", "log service is available again"),
    (202, "ERROR", "records were missed because retention removed them"),
    (203, "WARNING", "record was ignored because its schema is unknown"),
    # Ownership, 300 to 399.
    (300, "INFO", "authority over a shard was gained"),
    (301, "WARNING", "authority over a shard was lost"),
    (302, "INFO", "owner of a range changed"),
    (303, "WARNING", "server is suspected"),
    (304, "INFO", "term was claimed"),
    # Requests, 400 to 499.
    (400, "WARNING", "answer of an upstream was cut off"),
    (401, "WARNING", "request was quarantined"),
    (402, "WARNING", "connection to an upstream went silent"),
    # Configuration, 500 to 599.
    (500, "INFO", "configuration is in force"),
    (501, "WARNING", "no configuration is proved; traffic is refused"),
    (502, "INFO", "drain is complete"),
)
