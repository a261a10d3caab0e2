package pearusher.recovery;

/**
 * A key of the stored ledger, as docs/store.md specifies it.
 *
 * @param kind what the key names
 * @param table the table's number, of the kinds of a table; else 0
 * @param name what tells keys of a kind apart: a server's name, the number of a proxy or request
 *     class; of an unknown key its text, of an unknown key of a table what follows the number
 */
record LedgerKey(Kind kind, int table, String name) {

  /** What a key names. */
  enum Kind {
    HEADER,
    LIST_GENERATION,
    SERVER,
    EJECTION,
    PROXY,
    WEIGHT,
    ADMISSION_LEVEL,
    HISTORY_START,
    UNKNOWN_OF_TABLE,
    UNKNOWN
  }

  private static final String HEADER_TEXT = "m";
  private static final String LIST_GENERATION_TEXT = "g";
  private static final String SERVER_PREFIX = "s/";
  private static final String EJECTION_PREFIX = "w/";
  private static final String PROXY_PREFIX = "p/";
  private static final String TABLE_PREFIX = "t/";
  private static final String WEIGHT_INFIX = "/l/";
  private static final String ADMISSION_LEVEL_INFIX = "/v/";
  private static final String HISTORY_START_SUFFIX = "/f";

  static final LedgerKey HEADER = new LedgerKey(Kind.HEADER, 0, "");
  static final LedgerKey LIST_GENERATION = new LedgerKey(Kind.LIST_GENERATION, 0, "");

  static LedgerKey ofServer(String server) {
    return new LedgerKey(Kind.SERVER, 0, server);
  }

  static LedgerKey ofEjection(String server) {
    return new LedgerKey(Kind.EJECTION, 0, server);
  }

  static LedgerKey ofProxy(int proxy) {
    return new LedgerKey(Kind.PROXY, 0, Integer.toString(proxy));
  }

  static LedgerKey ofWeight(int table, String server) {
    return new LedgerKey(Kind.WEIGHT, table, server);
  }

  static LedgerKey ofAdmissionLevel(int table, int requestClass) {
    return new LedgerKey(Kind.ADMISSION_LEVEL, table, Integer.toString(requestClass));
  }

  static LedgerKey ofHistoryStart(int table) {
    return new LedgerKey(Kind.HISTORY_START, table, "");
  }

  /**
   * Reads a stored key. A key that a later program may have added is of an unknown kind.
   *
   * @throws NumberFormatException if the key of a table names no number
   * @throws StringIndexOutOfBoundsException if the key of a table ends with its number
   */
  static LedgerKey parse(String text) {
    if (text.equals(HEADER_TEXT)) {
      return HEADER;
    }
    if (text.equals(LIST_GENERATION_TEXT)) {
      return LIST_GENERATION;
    }
    if (text.startsWith(TABLE_PREFIX)) {
      return parseKeyOfTable(text);
    }
    if (text.startsWith(EJECTION_PREFIX)) {
      return ofEjection(text.substring(EJECTION_PREFIX.length()));
    }
    if (text.startsWith(PROXY_PREFIX)) {
      return new LedgerKey(Kind.PROXY, 0, text.substring(PROXY_PREFIX.length()));
    }
    if (text.startsWith(SERVER_PREFIX)) {
      return ofServer(text.substring(SERVER_PREFIX.length()));
    }
    return new LedgerKey(Kind.UNKNOWN, 0, text);
  }

  /** As {@link #parse}, but a key that can't be read is of an unknown kind. */
  static LedgerKey parseLeniently(String text) {
    try {
      return parse(text);
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return new LedgerKey(Kind.UNKNOWN, 0, text);
    }
  }

  private static LedgerKey parseKeyOfTable(String text) {
    int endOfNumber = text.indexOf('/', TABLE_PREFIX.length());
    int table = Integer.parseInt(text.substring(TABLE_PREFIX.length(), endOfNumber));
    String rest = text.substring(endOfNumber);
    if (rest.startsWith(WEIGHT_INFIX)) {
      return ofWeight(table, rest.substring(WEIGHT_INFIX.length()));
    }
    if (rest.startsWith(ADMISSION_LEVEL_INFIX)) {
      String requestClass = rest.substring(ADMISSION_LEVEL_INFIX.length());
      return new LedgerKey(Kind.ADMISSION_LEVEL, table, requestClass);
    }
    if (rest.equals(HISTORY_START_SUFFIX)) {
      return ofHistoryStart(table);
    }
    return new LedgerKey(Kind.UNKNOWN_OF_TABLE, table, rest);
  }

  /** The number of the proxy or request class that the key names. */
  int number() {
    return Integer.parseInt(name);
  }

  /** The key as it is stored. */
  String text() {
    return switch (kind) {
      case HEADER -> HEADER_TEXT;
      case LIST_GENERATION -> LIST_GENERATION_TEXT;
      case SERVER -> SERVER_PREFIX + name;
      case EJECTION -> EJECTION_PREFIX + name;
      case PROXY -> PROXY_PREFIX + name;
      case WEIGHT -> TABLE_PREFIX + table + WEIGHT_INFIX + name;
      case ADMISSION_LEVEL -> TABLE_PREFIX + table + ADMISSION_LEVEL_INFIX + name;
      case HISTORY_START -> TABLE_PREFIX + table + HISTORY_START_SUFFIX;
      case UNKNOWN_OF_TABLE -> TABLE_PREFIX + table + name;
      case UNKNOWN -> name;
    };
  }
}
