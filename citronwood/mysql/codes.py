"""MySQL's own error codes for errors sent to clients."""

from enum import IntEnum


class MysqlCode(IntEnum):
    """Error codes of MySQL that ``citronwood.errors.ErrorCode`` does not have."""

    BAD_HANDSHAKE = 1043
    NO_DATABASE = 1046
    EMPTY_QUERY = 1065
    UNKNOWN_ERROR = 1105
    UNKNOWN_CHARACTER_SET = 1115
    NOT_IN_TRANSACTION = 1179
    UNKNOWN_VARIABLE = 1193
    WRONG_ARGUMENTS = 1210
    ACCESS_DENIED = 1227
    WRONG_VALUE = 1231
    READ_ONLY_VARIABLE = 1238
    NOT_SUPPORTED = 1235
    UNKNOWN_STATEMENT = 1243
    INVALID_TEXT = 1300
    TOO_MANY_STATEMENTS = 1461
    READ_ONLY_TRANSACTION = 1792
    MALFORMED_PACKET = 1835
