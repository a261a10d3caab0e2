package pearusher.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON document as maps, lists and values, to change an example in a few places. */
final class JsonTree {
  /** Text that is JSON already and goes into the document as it is. */
  record Raw(String json) {}

  private final Map<String, Object> root;

  private JsonTree(Map<String, Object> root) {
    this.root = root;
  }

  static JsonTree read(Path file) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      parser.nextToken();
      return new JsonTree(object(parser));
    }
  }

  private static Map<String, Object> object(JsonParser from) throws IOException {
    Map<String, Object> out = new LinkedHashMap<>();
    while (from.nextToken() != JsonToken.END_OBJECT) {
      String key = from.currentName();
      from.nextToken();
      out.put(key, value(from));
    }
    return out;
  }

  private static Object value(JsonParser from) throws IOException {
    return switch (from.currentToken()) {
      case START_OBJECT -> object(from);
      case START_ARRAY -> {
        List<Object> out = new ArrayList<>();
        while (from.nextToken() != JsonToken.END_ARRAY) {
          out.add(value(from));
        }
        yield out;
      }
      case VALUE_STRING -> from.getText();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NUMBER_INT -> from.getLongValue();
      case VALUE_NUMBER_FLOAT -> from.getDoubleValue();
      default -> null;
    };
  }

  /** Sets a value by its path, the keys of which must be there but for the last. */
  JsonTree set(String path, Object value) {
    String[] keys = path.split("\\.");
    Map<String, Object> at = root;
    for (int k = 0; k < keys.length - 1; k++) {
      at = child(at, keys[k]);
    }
    at.put(keys[keys.length - 1], value);
    return this;
  }

  JsonTree remove(String key) {
    root.remove(key);
    return this;
  }

  /** A copy of the objects of a list. */
  List<Map<String, Object>> objects(String first, String second) {
    List<Map<String, Object>> out = new ArrayList<>();
    for (Object one : (List<?>) child(root, first).get(second)) {
      Map<String, Object> copy = new LinkedHashMap<>();
      ((Map<?, ?>) one).forEach((key, value) -> copy.put((String) key, value));
      out.add(copy);
    }
    return out;
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> child(Map<String, Object> at, String key) {
    if (at.get(key) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new IllegalArgumentException("no object under the key " + key);
  }

  @Override
  public String toString() {
    StringWriter out = new StringWriter();
    try (JsonGenerator to = new JsonFactory().createGenerator(out)) {
      write(to, root);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toString();
  }

  private static void write(JsonGenerator to, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      to.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        to.writeFieldName((String) entry.getKey());
        write(to, entry.getValue());
      }
      to.writeEndObject();
    } else if (value instanceof List<?> list) {
      to.writeStartArray();
      for (Object one : list) {
        write(to, one);
      }
      to.writeEndArray();
    } else if (value instanceof Raw raw) {
      to.writeRawValue(raw.json());
    } else {
      to.writeObject(value);
    }
  }
}
