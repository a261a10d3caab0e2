package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pearusher.policy.PolicyCommands;

/** Builds one reply: the orders of all instances, each led by the instance they belong to. */
final class ReplyWriter implements PolicyCommands {
  private static final int HEADER = 8;
  private ByteBuffer buf = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
  private int records;
  private int speaking = -1;
  private int said = -1;

  /** Starts an empty reply. */
  void clear() {
    buf.clear();
    buf.position(HEADER);
    records = 0;
    said = -1;
  }

  /** The orders that follow belong to this instance. */
  void speaker(int instance) {
    speaking = instance;
  }

  byte[] frame() {
    buf.putInt(0, buf.position() - HEADER);
    buf.putInt(4, records);
    return Arrays.copyOf(buf.array(), buf.position());
  }

  private ByteBuffer record(int code, int size) {
    if (said != speaking) {
      said = speaking;
      start(72, 2).putShort((short) speaking);
    }
    return start(code, size);
  }

  private ByteBuffer start(int code, int size) {
    if (buf.remaining() < size + 1) {
      int more = Math.max(buf.capacity() * 2, buf.position() + size + 1);
      ByteBuffer bigger = ByteBuffer.allocate(more).order(ByteOrder.LITTLE_ENDIAN);
      buf.flip();
      bigger.put(buf);
      buf = bigger;
    }
    records++;
    return buf.put((byte) code);
  }

  private static void task(ByteBuffer to, long server) {
    for (int shift = 40; shift >= 16; shift -= 8) {
      to.put((byte) (server >>> shift));
    }
    to.putShort((short) server);
  }

  private void text(int code, String text) {
    byte[] raw = text.getBytes(StandardCharsets.UTF_8);
    int n = Math.min(raw.length, 65535);
    record(code, 2 + n).putShort((short) n).put(raw, 0, n);
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    ByteBuffer to = record(78, 12).putShort((short) table);
    task(to, server);
    to.putFloat((float) weight);
  }

  @Override
  public void clearTable(int table) {
    record(74, 2).putShort((short) table);
  }

  @Override
  public void eject(long server) {
    setEjected(server, true);
  }

  @Override
  public void reinstate(long server) {
    setEjected(server, false);
  }

  private void setEjected(long server, boolean out) {
    ByteBuffer to = record(66, 7);
    task(to, server);
    to.put((byte) (out ? 1 : 0));
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    record(69, 6).putShort((short) proxy).putShort((short) table).putShort((short) classBits);
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    record(70, 9)
        .put((byte) retry)
        .putFloat((float) level)
        .putShort((short) table)
        .putShort((short) classBits);
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    record(67, 5).putInt(number).put((byte) (toAll ? 1 : 0));
  }

  @Override
  public void watchEndpoints(boolean on) {
    record(68, 1).put((byte) (on ? 1 : 0));
  }

  @Override
  public void fetchEndpoints() {
    record(71, 0);
  }

  @Override
  public void checkHealth(long server) {
    task(record(75, 6), server);
  }

  @Override
  public void setTimer(long delayUs, long token) {
    record(77, 12).putInt((int) Math.max(0, Math.min(delayUs, 0xffffffffL))).putLong(token);
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    record(73, 6 + body.length).putInt((int) peer).putShort((short) body.length).put(body);
  }

  @Override
  public void log(String text) {
    text(65, text);
  }

  /** The instance's decisions failed. */
  void fault(String text) {
    text(76, text);
  }
}
