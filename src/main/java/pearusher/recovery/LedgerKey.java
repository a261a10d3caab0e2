package pearusher.recovery;

/**
 * A key of the stored ledger, as docs/store.md specifies it.
 *
 * @param kind the kind of the entry that the key identifies
 * @param table number of the table for the kinds that belong to a table, otherwise 0
 * @param name identifies a key within its kind: the name of a server, or the number of a proxy or
 *     request class; for an unknown key its complete text, and for an unknown key of a table the
 *     text after the table's number
 */
record LedgerKey(Kind kind, int table, String name) {

  /** The kind of the entry that a key identifies. */
  enum Kind {
    HEADER,
    LIST_GENERATION,
    SERVER,
    EJECTION,
    PROXY,
    WEIGHT,
    ADMISSION_LEVEL,
    HISTORY_START,
    UNKNOWN_TABLE_KEY,
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
   * Parses a stored key. A key that is not listed here, such as one that a later version has added,
   * is of an unknown kind.
   *
   * @throws NumberFormatException if the key of a table contains no valid table number
   * @throws StringIndexOutOfBoundsException if the key of a table has no separator after the number
   */
  static LedgerKey parse(String text) {
    if (text.equals(HEADER_TEXT)) {
      return HEADER;
    }
    if (text.equals(LIST_GENERATION_TEXT)) {
      return LIST_GENERATION;
    }
    if (text.startsWith(TABLE_PREFIX)) {
      return parseTableKey(text);
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

  /** Parses a stored key. An unknown or malformed key is of an unknown kind. */
  static LedgerKey parseOrUnknown(String text) {
    try {
      return parse(text);
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return new LedgerKey(Kind.UNKNOWN, 0, text);
    }
  }

  private static LedgerKey parseTableKey(String text) {
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
    return new LedgerKey(Kind.UNKNOWN_TABLE_KEY, table, rest);
  }

  /** Returns the number of the proxy or request class that the key identifies. */
  int number() {
    return Integer.parseInt(name);
  }

  /** Returns the stored form of the key. */
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
      case UNKNOWN_TABLE_KEY -> TABLE_PREFIX + table + name;
      case UNKNOWN -> name;
    };
  }
}
