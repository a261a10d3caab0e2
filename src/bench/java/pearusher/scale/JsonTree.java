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

/** A mutable JSON document of maps, lists and values, used to adapt an example configuration. */
final class JsonTree {
  /** Encoded JSON that is written verbatim. */
  record Raw(String json) {}

  private final Map<String, Object> root;

  private JsonTree(Map<String, Object> root) {
    this.root = root;
  }

  static JsonTree read(Path file) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      parser.nextToken();
      return new JsonTree(readObject(parser));
    }
  }

  private static Map<String, Object> readObject(JsonParser parser) throws IOException {
    Map<String, Object> result = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      result.put(key, readValue(parser));
    }
    return result;
  }

  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> {
        List<Object> result = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          result.add(readValue(parser));
        }
        yield result;
      }
      case VALUE_STRING -> parser.getText();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      default -> null;
    };
  }

  /** Sets a value by its path; all keys but the last must exist. */
  JsonTree set(String path, Object value) {
    String[] keys = path.split("\\.");
    Map<String, Object> parent = root;
    for (int k = 0; k < keys.length - 1; k++) {
      parent = child(parent, keys[k]);
    }
    parent.put(keys[keys.length - 1], value);
    return this;
  }

  JsonTree remove(String key) {
    root.remove(key);
    return this;
  }

  /** Copies the objects of a list. */
  List<Map<String, Object>> copyObjects(String first, String second) {
    List<Map<String, Object>> result = new ArrayList<>();
    for (Object element : (List<?>) child(root, first).get(second)) {
      Map<String, Object> copy = new LinkedHashMap<>();
      ((Map<?, ?>) element).forEach((key, value) -> copy.put((String) key, value));
      result.add(copy);
    }
    return result;
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> child(Map<String, Object> parent, String key) {
    if (parent.get(key) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new IllegalArgumentException("expected an object at the key " + key);
  }

  @Override
  public String toString() {
    StringWriter result = new StringWriter();
    try (JsonGenerator generator = new JsonFactory().createGenerator(result)) {
      write(generator, root);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return result.toString();
  }

  private static void write(JsonGenerator generator, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      generator.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        generator.writeFieldName((String) entry.getKey());
        write(generator, entry.getValue());
      }
      generator.writeEndObject();
    } else if (value instanceof List<?> list) {
      generator.writeStartArray();
      for (Object element : list) {
        write(generator, element);
      }
      generator.writeEndArray();
    } else if (value instanceof Raw raw) {
      generator.writeRawValue(raw.json());
    } else {
      generator.writeObject(value);
    }
  }
}
