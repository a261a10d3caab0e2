package pearusher.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * Builds an {@link EndpointList} from the tokens of one JSON object in discovery's format. It grows
 * with the servers listed and the texts of the current entry, and belongs to one thread.
 *
 * <p>If a field occurs more than once, its last value counts. Null counts as absent, and a list of
 * plain values as their texts joined with commas. Faults of values are reported at the end of the
 * object, so that malformed JSON behind them takes precedence.
 */
final class EndpointListBuilder {
  private static final String GENERATION = "generation";
  private static final String COMPLETE = "reset";
  private static final String ENTRIES = "instances";
  private static final Set<String> HEAD_FIELD_NAMES = Set.of(GENERATION, COMPLETE);

  /** What the next token belongs to. */
  private enum State {
    BEFORE_OBJECT,
    HEAD,
    ENTRIES,
    ENTRY,
    AFTER_OBJECT
  }

  private final String documentName;
  private final String keyPrefix;
  private final EndpointDecoder decoder;
  private final EndpointListLimits limits;
  private final Map<String, String> headFields = new HashMap<>();
  private final Map<String, String> entryFields = new HashMap<>();
  private State state = State.BEFORE_OBJECT;

  /** Nesting depth within a value that is ignored; 0 outside of one. */
  private int ignoredDepth;

  private String fieldName;

  /** The plain values of the current array; null outside of one. */
  private PlainValues plainValues;

  private List<Endpoint> endpoints = List.of();
  private SettingsException fault;

  // Of the current array of entries, which replaces an earlier one once it ends.
  private List<Endpoint> pendingEndpoints;
  private SettingsException pendingFault;
  private int entryIndex;
  private boolean hasNestedEntry;

  /**
   * Creates a builder.
   *
   * @param documentName the name of the document, which begins each fault
   * @param keyPrefix the path of the object within the document, with a dot at its end, or empty
   * @param names the names of zones and machine types
   * @param limits the limits that the list must keep
   */
  EndpointListBuilder(
      String documentName, String keyPrefix, WireNames names, EndpointListLimits limits) {
    this.documentName = documentName;
    this.keyPrefix = keyPrefix;
    decoder = new EndpointDecoder(names);
    this.limits = limits;
  }

  /** Returns whether the object has ended. */
  boolean isComplete() {
    return state == State.AFTER_OBJECT;
  }

  /** Processes the parser's current token. */
  void accept(JsonToken token, JsonParser parser) throws IOException, SettingsException {
    if (ignoredDepth > 0) {
      ignore(token);
    } else if (plainValues != null) {
      acceptPlainValue(token, parser);
    } else {
      acceptInState(token, parser);
    }
  }

  private void ignore(JsonToken token) {
    if (token.isStructStart()) {
      ignoredDepth++;
    } else if (token.isStructEnd()) {
      ignoredDepth--;
    }
  }

  private void acceptInState(JsonToken token, JsonParser parser)
      throws IOException, SettingsException {
    switch (state) {
      case BEFORE_OBJECT -> acceptStart(token);
      case HEAD -> acceptInHead(token, parser);
      case ENTRIES -> acceptInEntries(token);
      case ENTRY -> acceptInEntry(token, parser);
      case AFTER_OBJECT ->
          throw new SettingsException(documentName + ": text after the JSON object");
    }
  }

  private void acceptStart(JsonToken token) throws SettingsException {
    if (token != JsonToken.START_OBJECT) {
      throw notAnObject(documentName);
    }
    state = State.HEAD;
  }

  static SettingsException notAnObject(String documentName) {
    return new SettingsException(documentName + ": not a JSON object");
  }

  private void acceptInHead(JsonToken token, JsonParser parser) throws IOException {
    if (token == JsonToken.END_OBJECT) {
      state = State.AFTER_OBJECT;
    } else if (token == JsonToken.START_ARRAY && fieldName.equals(ENTRIES)) {
      beginEntries();
    } else {
      acceptField(token, parser, HEAD_FIELD_NAMES, headFields);
    }
  }

  private void beginEntries() {
    state = State.ENTRIES;
    pendingEndpoints = new ArrayList<>();
    pendingFault = null;
    entryIndex = 0;
    hasNestedEntry = false;
  }

  private void acceptInEntries(JsonToken token) {
    if (token == JsonToken.END_ARRAY) {
      endEntries();
      return;
    }
    entryFields.clear();
    if (token == JsonToken.START_OBJECT) {
      hasNestedEntry = true;
      state = State.ENTRY;
      return;
    }
    if (token == JsonToken.START_ARRAY) {
      hasNestedEntry = true;
      ignoredDepth = 1;
    }
    recordFault(entry().fault(EndpointDecoder.ZONE, "is missing"));
    entryIndex++;
  }

  /** Ends the array; one of plain values only counts as a text, not as entries. */
  private void endEntries() {
    state = State.HEAD;
    if (hasNestedEntry || entryIndex == 0) {
      endpoints = pendingEndpoints;
      fault = pendingFault;
    }
    pendingEndpoints = null;
  }

  private void acceptInEntry(JsonToken token, JsonParser parser)
      throws IOException, SettingsException {
    if (token != JsonToken.END_OBJECT) {
      acceptField(token, parser, EndpointDecoder.FIELD_NAMES, entryFields);
      return;
    }
    state = State.ENTRIES;
    addEntry();
    entryIndex++;
  }

  private void addEntry() throws EndpointListTooLongException {
    Endpoint endpoint;
    try {
      endpoint = decoder.decode(entry()).orElse(null);
    } catch (SettingsException e) {
      recordFault(e);
      return;
    }
    if (endpoint == null) {
      return;
    }
    if (pendingEndpoints.size() >= limits.maxListed()) {
      throw new EndpointListTooLongException(limits.describeMaxListed());
    }
    pendingEndpoints.add(endpoint);
  }

  /** Records a fault unless there is an earlier one. */
  private void recordFault(SettingsException latest) {
    if (pendingFault == null) {
      pendingFault = latest;
    }
  }

  private PathValues entry() {
    return PathValues.of(
        documentName + ": the key " + keyPrefix + ENTRIES + "." + entryIndex + ".", entryFields);
  }

  /** Processes the name or the value of a field, and stores the value if its name is used. */
  private void acceptField(
      JsonToken token, JsonParser parser, Set<String> usedNames, Map<String, String> values)
      throws IOException {
    if (token == JsonToken.FIELD_NAME) {
      fieldName = parser.currentName();
    } else if (token == JsonToken.START_ARRAY && usedNames.contains(fieldName)) {
      plainValues = new PlainValues(values);
    } else if (token.isStructStart()) {
      ignoredDepth = 1;
    } else if (token != JsonToken.VALUE_NULL && usedNames.contains(fieldName)) {
      values.put(fieldName, parser.getText());
    }
  }

  private void acceptPlainValue(JsonToken token, JsonParser parser)
      throws IOException, SettingsException {
    if (token == JsonToken.END_ARRAY) {
      plainValues.store(fieldName);
      plainValues = null;
    } else if (token.isStructStart()) {
      plainValues.onlyPlain = false;
      ignoredDepth = 1;
    } else if (plainValues.length() + parser.getTextLength() <= limits.maxTextLength()) {
      plainValues.add(parser.getText());
    } else {
      throw new SettingsException(
          documentName
              + ": a list of plain values under "
              + fieldName
              + " of over "
              + limits.maxTextLength()
              + " characters");
    }
  }

  /** Returns whether the object has a generation: without one it is no list. */
  boolean hasGeneration() {
    return headFields.containsKey(GENERATION);
  }

  /** Returns the list, once the object has ended. */
  EndpointList build() throws SettingsException {
    if (fault != null) {
      throw fault;
    }
    PathValues head = PathValues.of(documentName + ": the key " + keyPrefix, headFields);
    return new EndpointList(head.requireLong(GENERATION), head.requireBoolean(COMPLETE), endpoints);
  }

  /** The values of an array, which count as one text if none of them is nested. */
  private static final class PlainValues {
    private final Map<String, String> target;
    private final StringBuilder joined = new StringBuilder();
    private boolean onlyPlain = true;
    private boolean empty = true;

    PlainValues(Map<String, String> target) {
      this.target = target;
    }

    int length() {
      return joined.length();
    }

    void add(String value) {
      if (!empty) {
        joined.append(',');
      }
      joined.append(value);
      empty = false;
    }

    void store(String fieldName) {
      if (onlyPlain) {
        target.put(fieldName, joined.toString());
      }
    }
  }
}
