"""List all log events: number, level, text."""

ROWS = (
    # Process, 1 to 99.
    (1, "INFO", "entry process started"),
    (2, "INFO", "entry process is stopping"),
    (3, "INFO", "entry process stopped"),
    (4, "ERROR", "settings were rejected"),
    (5, "ERROR", "unexpected exception"),
    (6, "INFO", "settings were read again"),
    (7, "WARNING", "log lines were left out"),
    # Peers, 100 to 199.
    (100, "WARNING", "message from a peer was dropped"),
    (101, "INFO", "peer is live"),
    (102, "WARNING", "peer is suspected"),
    (103, "WARNING", "datagram did not reach its VM"),
    (104, "WARNING", "no copy of a document from another VM"),
    (105, "INFO", "this VM relays to its region"),
    # Log, 200 to 299.
    (200, "WARNING", "log service is unavailable"),
    (201, "INFO", "log service is available again"),
    (202, "ERROR", "records were missed because retention removed them"),
    (203, "WARNING", "record was ignored because its schema is unknown"),
    (204, "INFO", "calls to the store since the last line"),
    # Ownership, 300 to 399.
    (300, "INFO", "authority over a shard was gained"),
    (301, "WARNING", "authority over a shard was lost"),
    (302, "INFO", "owner of a range changed"),
    (303, "WARNING", "server is suspected"),
    (304, "INFO", "term was claimed"),
    (305, "INFO", "earlier controller has stopped"),
    (310, "INFO", "this VM was named controller of keys"),
    (311, "WARNING", "this VM stopped controlling keys"),
    (312, "INFO", "claim of a term was not confirmed"),
    (313, "WARNING", "grant was not confirmed"),
    (314, "WARNING", "holder of keys is overloaded"),
    (315, "WARNING", "move of keys was taken back"),
    (316, "WARNING", "grant was rejected"),
    # Instances, 320 to 349.
    (320, "INFO", "instances were listed"),
    (321, "INFO", "instance joined or changed"),
    (322, "INFO", "instance is gone"),
    (323, "WARNING", "entry of an instance was ignored"),
    # Requests, 400 to 499.
    (400, "WARNING", "answer of an upstream was cut off"),
    (401, "WARNING", "request was quarantined"),
    (402, "WARNING", "connection to an upstream went silent"),
    (410, "WARNING", "request was refused for lack of state"),
    (411, "INFO", "request matches no route"),
    (412, "INFO", "caller left before its answer"),
    (413, "WARNING", "request failed or was refused"),
    (420, "INFO", "request was answered"),
    # Configuration, 500 to 599.
    (500, "INFO", "configuration is in force"),
    (501, "WARNING", "no configuration is proved; traffic is refused"),
    (502, "INFO", "drain is complete"),
    (503, "ERROR", "desired state was ignored"),
)
