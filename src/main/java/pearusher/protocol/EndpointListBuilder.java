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
 * Builder of an {@link EndpointList} from the tokens of one JSON object in discovery's format. Not
 * thread-safe. Its memory use is proportional to the number of servers and to the text of the
 * current entry.
 *
 * <p>The last value of a repeated field is used. A null counts as an absent field. An array of
 * scalars counts as the text of its elements joined with commas. An invalid value is reported only
 * at the end of the object, so that malformed JSON after it takes precedence.
 */
final class EndpointListBuilder {
  private static final String GENERATION = "generation";
  private static final String COMPLETE = "reset";
  private static final String ENTRIES = "instances";
  private static final Set<String> HEAD_FIELD_NAMES = Set.of(GENERATION, COMPLETE);

  /** Position in the document, which determines how the next token is processed. */
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

  /** Nesting depth within an ignored value; 0 outside of ignored values. */
  private int ignoredDepth;

  private String fieldName;

  /** Scalars of the current array; null outside of an array of scalars. */
  private ScalarArray scalarArray;

  private List<Endpoint> endpoints = List.of();
  private SettingsException fault;

  // State of the current array of entries, which replaces an earlier array when it ends.
  private List<Endpoint> pendingEndpoints;
  private SettingsException pendingFault;
  private int entryIndex;
  private boolean hasNestedEntry;

  /**
   * Creates a builder.
   *
   * @param documentName the name of the document, with which each error message begins
   * @param keyPrefix the path of the object within the document, ending with a dot, or empty
   * @param names the names of zones and machine types
   * @param limits the limits on the list
   */
  EndpointListBuilder(
      String documentName, String keyPrefix, WireNames names, EndpointListLimits limits) {
    this.documentName = documentName;
    this.keyPrefix = keyPrefix;
    decoder = new EndpointDecoder(names);
    this.limits = limits;
  }

  /** Returns whether the end of the object was read. */
  boolean isComplete() {
    return state == State.AFTER_OBJECT;
  }

  /**
   * Processes the current token of a parser.
   *
   * @throws EndpointListTooLongException if the list has more servers than the limits allow
   * @throws SettingsException if the document is not one JSON object, or an array of scalars is too
   *     long
   */
  void accept(JsonToken token, JsonParser parser) throws IOException, SettingsException {
    if (ignoredDepth > 0) {
      ignore(token);
    } else if (scalarArray != null) {
      acceptArrayElement(token, parser);
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

  /** Ends the array of entries; an array of scalars alone counts as a text and is ignored. */
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

  /** Records a fault of the current array of entries; only the first one is reported. */
  private void recordFault(SettingsException entryFault) {
    if (pendingFault == null) {
      pendingFault = entryFault;
    }
  }

  private PathValues entry() {
    return PathValues.of(
        documentName + ": the key " + keyPrefix + ENTRIES + "." + entryIndex + ".", entryFields);
  }

  /** Processes the name or the value of a field; stores the value if the field is decoded. */
  private void acceptField(
      JsonToken token, JsonParser parser, Set<String> decodedNames, Map<String, String> values)
      throws IOException {
    if (token == JsonToken.FIELD_NAME) {
      fieldName = parser.currentName();
    } else if (token == JsonToken.START_ARRAY && decodedNames.contains(fieldName)) {
      scalarArray = new ScalarArray(values);
    } else if (token.isStructStart()) {
      ignoredDepth = 1;
    } else if (token != JsonToken.VALUE_NULL && decodedNames.contains(fieldName)) {
      values.put(fieldName, parser.getText());
    }
  }

  private void acceptArrayElement(JsonToken token, JsonParser parser)
      throws IOException, SettingsException {
    if (token == JsonToken.END_ARRAY) {
      scalarArray.store(fieldName);
      scalarArray = null;
    } else if (token.isStructStart()) {
      scalarArray.onlyScalars = false;
      ignoredDepth = 1;
    } else if (scalarArray.length() + parser.getTextLength() <= limits.maxTextLength()) {
      scalarArray.add(parser.getText());
    } else {
      throw new SettingsException(
          documentName
              + ": the array under "
              + fieldName
              + " is longer than "
              + limits.maxTextLength()
              + " characters");
    }
  }

  /** Returns whether the object has a generation, without which it is not an endpoint list. */
  boolean hasGeneration() {
    return headFields.containsKey(GENERATION);
  }

  /**
   * Returns the list; the end of the object must have been read.
   *
   * @throws SettingsException if a required field is missing or a value is invalid
   */
  EndpointList build() throws SettingsException {
    if (fault != null) {
      throw fault;
    }
    PathValues head = PathValues.of(documentName + ": the key " + keyPrefix, headFields);
    return new EndpointList(head.requireLong(GENERATION), head.requireBoolean(COMPLETE), endpoints);
  }

  /** Scalars of an array, which are stored as one text unless an element is nested. */
  private static final class ScalarArray {
    private final Map<String, String> target;
    private final StringBuilder joined = new StringBuilder();
    private boolean onlyScalars = true;
    private boolean empty = true;

    ScalarArray(Map<String, String> target) {
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
      if (onlyScalars) {
        target.put(fieldName, joined.toString());
      }
    }
  }
}
