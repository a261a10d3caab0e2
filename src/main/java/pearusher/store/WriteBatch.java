package pearusher.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Changes that take effect together: keys with their new values, null for a key that is deleted.
 */
public final class WriteBatch {
  private final Map<String, byte[]> changes = new LinkedHashMap<>();

  /** Changes by key, null for one that is deleted; the map and its values are not copied. */
  public static WriteBatch ofChanges(Map<String, byte[]> changes) {
    WriteBatch out = new WriteBatch();
    out.changes.putAll(changes);
    return out;
  }

  /** Sets a key; the value is not copied. */
  public WriteBatch put(String key, byte[] value) {
    changes.put(key, value);
    return this;
  }

  public WriteBatch delete(String key) {
    changes.put(key, null);
    return this;
  }

  public boolean isEmpty() {
    return changes.isEmpty();
  }

  public Map<String, byte[]> changes() {
    return changes;
  }

  /** Brings a map of all values up to date. */
  public void applyTo(Map<String, byte[]> state) {
    changes.forEach(
        (key, value) -> {
          if (value == null) {
            state.remove(key);
          } else {
            state.put(key, value);
          }
        });
  }

  /**
   * Count (4 bytes), then each key (2 bytes of length, modified UTF-8), length or -1 (4 bytes),
   * value.
   */
  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(32 + 32 * changes.size());
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(changes.size());
      for (Map.Entry<String, byte[]> one : changes.entrySet()) {
        out.writeUTF(one.getKey());
        byte[] value = one.getValue();
        out.writeInt(value == null ? -1 : value.length);
        out.write(value == null ? new byte[0] : value);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Reads what {@link #encode} wrote; no length is believed beyond the bytes that are there. */
  static WriteBatch decode(byte[] payload) throws IOException {
    WriteBatch out = new WriteBatch();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
      int count = in.readInt();
      for (int k = 0; k < count; k++) {
        String key = in.readUTF();
        int length = in.readInt();
        if (length > in.available() || length < -1) {
          throw new IOException(
              "a value of " + length + " bytes where " + in.available() + " are left");
        }
        out.changes.put(key, length < 0 ? null : in.readNBytes(length));
      }
      if (in.available() > 0) {
        throw new IOException(in.available() + " bytes after the last change");
      }
    }
    return out;
  }
}
