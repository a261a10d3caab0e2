package pearusher.control;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;

/** Decodes updates as proxies receive them. */
public final class DecodedUpdate {
  private DecodedUpdate() {}

  /**
   * Returns the parts of an update, each as the strings of its message.
   *
   * @throws IllegalStateException if the update is malformed
   */
  public static List<List<String>> parts(byte[] message) {
    List<List<String>> parts = new ArrayList<>();
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      ByteBuffer buffer = ByteBuffer.wrap(message);
      for (List<String> part = reader.next(buffer); part != null; part = reader.next(buffer)) {
        parts.add(part);
      }
    } catch (RespException e) {
      throw new IllegalStateException(e);
    }
    return parts;
  }
}
