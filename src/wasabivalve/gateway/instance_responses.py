"""Check responses of instances and prepare them for callers."""

from wasabivalve import retries

from . import messages


def is_invalid(
    response: messages.HttpResponse, header_format: messages.HeaderFormat
) -> bool:
    """Return whether a response can't be the instance's response to a request."""
    if response.header(b"content-encoding") is not None:
        return True
    if response.status == retries.MISDIRECTED_STATUS or (
        response.header(header_format.not_run) is not None
    ):
        # It claims that the request was not run, but does not prove it.
        return True
    success = 200 <= response.status < 300
    return success and response.header(header_format.origin_proof) is None


def caller_response(
    response: messages.HttpResponse, header_format: messages.HeaderFormat
) -> messages.HttpResponse:
    """Return an instance's response without the headers that are not for callers."""
    headers = [
        (name, value)
        for name, value in response.headers
        if name not in messages.UNFORWARDED_HEADERS
        and name != header_format.load_report
    ]
    return response._replace(headers=headers)
