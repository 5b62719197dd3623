"""List all log events: number, level, text."""

ROWS = (
    # Process, 1 to 99.
    (1, "INFO", "entry process started"),
    (2, "INFO", "entry process is stopping"),
    (3, "INFO", "entry process stopped"),
    (4, "ERROR", "settings were rejected"),
    (5, "ERROR", "unexpected exception"),
    (6, "INFO", "settings file was read again; changes apply at the next start"),
    (7, "WARNING", "log lines were dropped"),
    # Peers, 100 to 199.
    (100, "WARNING", "invalid message or message of an unknown peer was dropped"),
    (101, "INFO", "peer VM is live"),
    (102, "WARNING", "peer VM is suspected to have failed"),
    (103, "WARNING", "datagram did not reach its VM"),
    (104, "WARNING", "copy of a document could not be fetched from another VM"),
    (105, "INFO", "this VM relays records in place of the silent controller"),
    # Log, 200 to 299.
    (200, "WARNING", "log service is unavailable"),
    (201, "INFO", "log service is available again"),
    (202, "ERROR", "records were missed because retention removed them"),
    (203, "WARNING", "record was ignored because it could not be decoded"),
    (204, "INFO", "numbers of store calls since the previous event of this kind"),
    # Ownership, 300 to 399.
    (300, "INFO", "this VM gained authority over a shard"),
    (301, "WARNING", "this VM lost authority over a shard"),
    (302, "INFO", "owner of a key range changed"),
    (303, "WARNING", "upstream instance is suspected to have failed"),
    (304, "INFO", "this VM claimed a controller term"),
    (305, "INFO", "previous key controller stopped granting leases"),
    (310, "INFO", "this VM was elected key controller"),
    (311, "WARNING", "this VM stepped down as key controller"),
    (312, "INFO", "claim of a controller term was not confirmed"),
    (313, "WARNING", "lease grant was not confirmed by its instance"),
    (314, "WARNING", "holder of keys is overloaded"),
    (315, "WARNING", "move of keys was cancelled; the previous holders keep them"),
    (316, "WARNING", "lease grant was rejected by its instance"),
    # Instances, 320 to 349.
    (320, "INFO", "first listing of registered instances was received"),
    (321, "INFO", "instance joined or changed"),
    (322, "INFO", "instance was removed"),
    (323, "WARNING", "registry entry of an instance is malformed and was ignored"),
    # Requests, 400 to 499.
    (400, "WARNING", "response of an upstream could not be read to its end"),
    (401, "WARNING", "request fingerprint was quarantined"),
    (402, "WARNING", "upstream sent no data before the read timeout"),
    (410, "WARNING", "request was refused; no desired state or unknown service"),
    (411, "INFO", "request matches no route"),
    (412, "INFO", "caller disconnected before the response"),
    (413, "WARNING", "request failed or was refused"),
    (420, "INFO", "request was answered"),
    # Configuration, 500 to 599.
    (500, "INFO", "configuration is in force"),
    (501, "WARNING", "no verified configuration is available; requests are refused"),
    (502, "INFO", "drain is complete"),
    (503, "ERROR", "desired state is malformed and was ignored"),
)
