package pearusher.sitesettings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.CharConversionException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Flattens a JSON object to a map of values by path. Keys of nested objects are joined with dots.
 * Arrays of scalars become one value, joined with commas. Arrays of objects or arrays have their
 * length under {@code .count} and their items under {@code .0}, {@code .1} and so on. Empty arrays
 * have both forms. Null values of objects are omitted.
 */
final class JsonFlattener {
  private final JsonParser parser;
  private final Map<String, String> values = new HashMap<>();

  private JsonFlattener(JsonParser parser) {
    this.parser = parser;
  }

  /**
   * Reads one JSON object and returns its values by path.
   *
   * @param name the name of the document in error messages
   * @param skippedKey a key of the outermost object whose value is parsed but omitted; empty for
   *     none
   * @throws SettingsException if the text is not exactly one well-formed JSON object
   * @throws IOException if the text can't be read
   */
  static Map<String, String> flatten(String name, InputStream text, String skippedKey)
      throws SettingsException, IOException {
    try (JsonParser parser = new JsonFactory().createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new SettingsException(name + ": not a JSON object");
      }
      JsonFlattener flattener = new JsonFlattener(parser);
      flattener.addObject("", skippedKey);
      if (parser.nextToken() != null) {
        throw new SettingsException(name + ": text after the JSON object");
      }
      return flattener.values;
    } catch (JsonProcessingException | CharConversionException e) {
      throw PathValues.malformed(name, e);
    }
  }

  private void addObject(String prefix, String skippedKey) throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String path = prefix + parser.currentName();
      JsonToken first = parser.nextToken();
      if (path.equals(skippedKey)) {
        parser.skipChildren();
      } else {
        addValue(first, path);
      }
    }
  }

  private void addValue(JsonToken first, String path) throws IOException {
    if (first == JsonToken.START_OBJECT) {
      addObject(path + ".", "");
    } else if (first == JsonToken.START_ARRAY) {
      addArray(path);
    } else if (first != JsonToken.VALUE_NULL) {
      values.put(path, parser.getText());
    }
  }

  private void addArray(String path) throws IOException {
    StringJoiner scalars = new StringJoiner(",");
    int count = 0;
    boolean isNested = false;
    JsonToken token = parser.nextToken();
    while (token != JsonToken.END_ARRAY) {
      if (token.isStructStart()) {
        isNested = true;
        addValue(token, path + "." + count);
      } else {
        scalars.add(parser.getText());
      }
      count++;
      token = parser.nextToken();
    }
    if (isNested || count == 0) {
      values.put(path + ".count", Integer.toString(count));
    }
    if (!isNested) {
      values.put(path, scalars.toString());
    }
  }
}
