package pearusher.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Changes that take effect together, in the order in which their keys were first named. Not
 * thread-safe.
 */
public final class WriteBatch {
  /** The stored length of a value that stands for a deleted key. */
  private static final int DELETED = -1;

  private static final int USUAL_CHANGE_BYTES = 32;

  private final Map<String, Optional<byte[]>> changes = new LinkedHashMap<>();

  /** Sets a key; the value is not copied. */
  public WriteBatch put(String key, byte[] value) {
    changes.put(key, Optional.of(value));
    return this;
  }

  /** Deletes a key. */
  public WriteBatch delete(String key) {
    changes.put(key, Optional.empty());
    return this;
  }

  public boolean isEmpty() {
    return changes.isEmpty();
  }

  /** The new values by key; empty for a key that is deleted. */
  public Map<String, Optional<byte[]>> changes() {
    return changes;
  }

  /** Applies the changes to a map of all values. */
  public void applyTo(Map<String, byte[]> state) {
    changes.forEach(
        (key, value) ->
            value.ifPresentOrElse(bytes -> state.put(key, bytes), () -> state.remove(key)));
  }

  /** Encodes the changes as docs/store.md specifies them. */
  byte[] encode() {
    int expectedBytes = USUAL_CHANGE_BYTES + USUAL_CHANGE_BYTES * changes.size();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(expectedBytes);
    try (DataOutputStream output = new DataOutputStream(bytes)) {
      output.writeInt(changes.size());
      for (Map.Entry<String, Optional<byte[]>> change : changes.entrySet()) {
        output.writeUTF(change.getKey());
        writeValue(output, change.getValue());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void writeValue(DataOutputStream output, Optional<byte[]> value)
      throws IOException {
    if (value.isEmpty()) {
      output.writeInt(DELETED);
      return;
    }
    output.writeInt(value.get().length);
    output.write(value.get());
  }

  /**
   * Decodes what {@link #encode} wrote.
   *
   * @throws IOException if the bytes are too few or too many
   */
  static WriteBatch decode(byte[] payload) throws IOException {
    WriteBatch batch = new WriteBatch();
    try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(payload))) {
      int count = input.readInt();
      for (int k = 0; k < count; k++) {
        batch.changes.put(input.readUTF(), readValue(input));
      }
      if (input.available() > 0) {
        throw new IOException(input.available() + " bytes after the last change");
      }
    }
    return batch;
  }

  private static Optional<byte[]> readValue(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length > input.available() || length < DELETED) {
      throw new IOException(
          "a value of " + length + " bytes where " + input.available() + " are left");
    }
    return length == DELETED ? Optional.empty() : Optional.of(input.readNBytes(length));
  }
}
