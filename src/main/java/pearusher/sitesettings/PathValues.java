package pearusher.sitesettings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.CharConversionException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Values by path, read from path=value lines or from nested JSON, which is flattened to the same
 * paths: a list of plain values is joined with commas, a list of objects has its length under
 * .count and its items under .0, .1 and so on. It knows no key's meaning; every fault names the
 * path.
 */
public final class PathValues {
  private final String what;
  private final Map<String, String> values;

  private PathValues(String what) {
    this(what, new HashMap<>());
  }

  private PathValues(String what, Map<String, String> values) {
    this.what = what;
    this.values = values;
  }

  /**
   * Values that were read elsewhere, not copied; {@code what} stands before the path in each fault.
   */
  public static PathValues of(String what, Map<String, String> values) {
    return new PathValues(what, values);
  }

  /** The simulator's form. */
  public static PathValues parseLines(String text) {
    PathValues out = new PathValues("settings: the key ");
    for (String line : text.split("\n")) {
      int eq = line.indexOf('=');
      if (eq > 0) {
        out.values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
      }
    }
    return out;
  }

  /** The configuration's form; faults begin with what the text is. */
  public static PathValues parseJson(String name, byte[] text) throws SettingsException {
    try {
      return parseJson(name, new ByteArrayInputStream(text), "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * The same of a stream, without what stands under one key, which is checked for its form only.
   */
  public static PathValues parseJson(String name, InputStream text, String without)
      throws SettingsException, IOException {
    PathValues out = new PathValues(name + ": the key ");
    try (JsonParser in = new JsonFactory().createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new SettingsException(name + ": not a JSON object");
      }
      out.object(in, "", without);
      if (in.nextToken() != null) {
        throw new SettingsException(name + ": text after the JSON object");
      }
    } catch (JsonProcessingException | CharConversionException e) {
      throw malformed(name, e);
    }
    return out;
  }

  /** The fault of a text that is no JSON. */
  public static SettingsException malformed(String name, IOException why) {
    String text = String.valueOf(why.getMessage());
    return new SettingsException(name + ": malformed JSON: " + text.lines().findFirst().orElse(""));
  }

  private void object(JsonParser in, String prefix, String without) throws IOException {
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = prefix + in.currentName();
      JsonToken first = in.nextToken();
      if (key.equals(without)) {
        in.skipChildren();
      } else {
        value(in, first, key);
      }
    }
  }

  private void value(JsonParser in, JsonToken first, String key) throws IOException {
    if (first == JsonToken.START_OBJECT) {
      object(in, key + ".", "");
    } else if (first == JsonToken.START_ARRAY) {
      StringJoiner plain = new StringJoiner(",");
      int n = 0;
      boolean nested = false;
      for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
        if (t.isStructStart()) {
          nested = true;
          value(in, t, key + "." + n);
        } else {
          plain.add(in.getText());
        }
        n++;
      }
      if (nested || n == 0) {
        values.put(key + ".count", Integer.toString(n));
      }
      if (!nested) {
        values.put(key, plain.toString());
      }
    } else if (first != JsonToken.VALUE_NULL) {
      values.put(key, in.getText());
    }
  }

  /** The same values below a prefix, without it; faults name the whole path. */
  public PathValues below(String prefix) {
    PathValues out = new PathValues(what + prefix);
    values.forEach(
        (key, value) -> {
          if (key.startsWith(prefix)) {
            out.values.put(key.substring(prefix.length()), value);
          }
        });
    return out;
  }

  public boolean has(String key) {
    return values.containsKey(key);
  }

  public boolean isEmpty() {
    return values.isEmpty();
  }

  public SettingsException fault(String key, String how) {
    return new SettingsException(what + key + " " + how);
  }

  public String require(String key) throws SettingsException {
    String value = values.get(key);
    if (value == null) {
      throw fault(key, "is missing");
    }
    return value;
  }

  /** The text of a key, null where it is left out. */
  public String textOrNull(String key) {
    return values.get(key);
  }

  private SettingsException unreadable(String key, String value) {
    return fault(key, "is unreadable: '" + value + "'");
  }

  public double requireDouble(String key) throws SettingsException {
    String value = require(key);
    try {
      double out = Double.parseDouble(value);
      if (Double.isFinite(out)) {
        return out;
      }
    } catch (NumberFormatException e) {
      throw unreadable(key, value);
    }
    throw unreadable(key, value);
  }

  public long requireLong(String key) throws SettingsException {
    return Math.round(requireDouble(key));
  }

  /** A key that may be left out: 0 then. */
  public double doubleOrZero(String key) throws SettingsException {
    return has(key) ? requireDouble(key) : 0;
  }

  /** A whole number between two bounds; the default where it is left out. */
  public int intBetween(String key, int least, int most, int otherwise) throws SettingsException {
    if (!has(key)) {
      return otherwise;
    }
    double out = requireDouble(key);
    if (out != Math.rint(out) || out < least || out > most) {
      throw fault(key, "is out of range: " + require(key) + " (" + least + " to " + most + ")");
    }
    return (int) out;
  }

  public boolean isSetTo(String key, String word) {
    return word.equals(values.get(key));
  }

  public boolean requireBoolean(String key) throws SettingsException {
    return requireOneOf(key, Map.of("true", true, "false", false));
  }

  public List<String> requireList(String key) throws SettingsException {
    require(key);
    return listOrEmpty(key);
  }

  /** A list that may be left out: empty then. */
  public List<String> listOrEmpty(String key) {
    String value = values.getOrDefault(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  /** The values of one key of a list of objects. */
  public List<String> requireEach(String key, String of) throws SettingsException {
    List<String> out = new ArrayList<>();
    for (int k = 0; k < intBetween(key + ".count", 0, 1 << 20, 0); k++) {
      out.add(require(key + "." + k + "." + of));
    }
    return out;
  }

  public <T> T requireOneOf(String key, Map<String, T> of) throws SettingsException {
    T out = of.get(require(key));
    if (out == null) {
      throw unreadable(key, require(key));
    }
    return out;
  }
}
