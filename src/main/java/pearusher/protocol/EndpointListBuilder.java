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
 * Makes a {@link EndpointList} of the tokens of one JSON object, in discovery's form, and keeps
 * nothing else of them than the records of the servers and the texts of the entry at hand. Where a
 * field stands twice, the last one counts; null counts as left out, and a list of plain values as
 * their texts joined with commas. Faults of a value are told at the end, so that malformed JSON
 * behind them is told first.
 */
final class EndpointListBuilder {
  private static final String INSTANCES = "instances";
  private static final Set<String> HEAD_KEYS = Set.of("generation", "reset");
  private static final Set<String> INSTANCE_KEYS =
      Set.of(
          "instanceId",
          "hostPort",
          "zone",
          "machineType",
          "cell",
          "lifecycle",
          "weight",
          "startedAtMs");

  /** What the next token belongs to. */
  private enum Place {
    BEFORE,
    HEAD,
    INSTANCES,
    INSTANCE,
    AFTER
  }

  private final String name;
  private final String prefix;
  private final WireNames names;
  private final EndpointListLimits limits;
  private final Map<String, String> head = new HashMap<>();
  private final Map<String, String> entry = new HashMap<>();
  private Place place = Place.BEFORE;

  /** Objects and arrays that are open and passed over. */
  private int passedOver;

  private String key;

  /** The plain values of the array at hand; null outside of one. */
  private StringBuilder plain;

  private boolean plainOnly;
  private boolean plainEmpty;

  private List<Endpoint> instances = List.of();
  private SettingsException fault;
  // Of the array of instances at hand: it counts once it ends.
  private List<Endpoint> reading;
  private SettingsException readingFault;
  private int position;
  private boolean anyNested;

  /**
   * {@code name}: what the text is, the beginning of each fault; {@code prefix}: where the object
   * stands in it.
   */
  EndpointListBuilder(String name, String prefix, WireNames names, EndpointListLimits limits) {
    this.name = name;
    this.prefix = prefix;
    this.names = names;
    this.limits = limits;
  }

  /** The object has ended. */
  boolean done() {
    return place == Place.AFTER;
  }

  /** Takes the next token, at which the parser stands. */
  void token(JsonToken token, JsonParser in) throws IOException, SettingsException {
    if (passedOver > 0) {
      passedOver += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
    } else if (plain != null) {
      plainElement(token, in);
    } else {
      switch (place) {
        case BEFORE -> begin(token);
        case HEAD -> headToken(token, in);
        case INSTANCES -> instancesToken(token);
        case INSTANCE -> instanceToken(token, in);
        case AFTER -> throw new SettingsException(name + ": text after the JSON object");
      }
    }
  }

  private void begin(JsonToken token) throws SettingsException {
    if (token != JsonToken.START_OBJECT) {
      throw notAnObject(name);
    }
    place = Place.HEAD;
  }

  static SettingsException notAnObject(String name) {
    return new SettingsException(name + ": not a JSON object");
  }

  private void headToken(JsonToken token, JsonParser in) throws IOException {
    if (token == JsonToken.END_OBJECT) {
      place = Place.AFTER;
    } else if (token == JsonToken.START_ARRAY && key.equals(INSTANCES)) {
      place = Place.INSTANCES;
      reading = new ArrayList<>();
      readingFault = null;
      position = 0;
      anyNested = false;
    } else {
      field(token, in, HEAD_KEYS, head);
    }
  }

  private void instancesToken(JsonToken token) {
    if (token == JsonToken.END_ARRAY) {
      place = Place.HEAD;
      if (anyNested || position == 0) {
        instances = reading;
        fault = readingFault;
      }
      reading = null;
      return;
    }
    entry.clear();
    if (token == JsonToken.START_OBJECT) {
      anyNested = true;
      place = Place.INSTANCE;
      return;
    }
    if (token == JsonToken.START_ARRAY) {
      anyNested = true;
      passedOver = 1;
    }
    note(paths().fault("zone", "is missing"));
    position++;
  }

  private void instanceToken(JsonToken token, JsonParser in) throws IOException, SettingsException {
    if (token != JsonToken.END_OBJECT) {
      field(token, in, INSTANCE_KEYS, entry);
      return;
    }
    place = Place.INSTANCES;
    try {
      add(Endpoint.of(paths(), names));
    } catch (EndpointListTooLongException e) {
      throw e;
    } catch (SettingsException e) {
      note(e);
    }
    position++;
  }

  private void add(Endpoint one) throws EndpointListTooLongException {
    if (one == null) {
      return;
    }
    if (reading.size() >= limits.maxListed()) {
      throw new EndpointListTooLongException(limits.describeMaxListed());
    }
    reading.add(one);
  }

  /** The first fault is the one that is told. */
  private void note(SettingsException what) {
    readingFault = readingFault == null ? what : readingFault;
  }

  private PathValues paths() {
    return PathValues.of(name + ": the key " + prefix + INSTANCES + "." + position + ".", entry);
  }

  /** A token of a field or its value, in an object of which some keys are wanted. */
  private void field(JsonToken token, JsonParser in, Set<String> wanted, Map<String, String> values)
      throws IOException {
    if (token == JsonToken.FIELD_NAME) {
      key = in.currentName();
    } else if (token == JsonToken.START_ARRAY && wanted.contains(key)) {
      plain = new StringBuilder();
      plainOnly = true;
      plainEmpty = true;
    } else if (token.isStructStart()) {
      passedOver = 1;
    } else if (token != JsonToken.VALUE_NULL && wanted.contains(key)) {
      values.put(key, in.getText());
    }
  }

  private void plainElement(JsonToken token, JsonParser in) throws IOException, SettingsException {
    if (token == JsonToken.END_ARRAY) {
      if (plainOnly) {
        (place == Place.HEAD ? head : entry).put(key, plain.toString());
      }
      plain = null;
    } else if (token.isStructStart()) {
      plainOnly = false;
      passedOver = 1;
    } else if (plain.length() + in.getTextLength() <= limits.maxTextLength()) {
      plain.append(plainEmpty ? "" : ",").append(in.getText());
      plainEmpty = false;
    } else {
      throw new SettingsException(
          name
              + ": a list of plain values under "
              + key
              + " of over "
              + limits.maxTextLength()
              + " characters");
    }
  }

  /** A generation was given: without one the object is no list. */
  boolean hasGeneration() {
    return head.containsKey("generation");
  }

  /** What was read, once the object has ended. */
  EndpointList listing() throws SettingsException {
    if (fault != null) {
      throw fault;
    }
    PathValues at = PathValues.of(name + ": the key " + prefix, head);
    return new EndpointList(at.requireLong("generation"), at.requireBoolean("reset"), instances);
  }
}
