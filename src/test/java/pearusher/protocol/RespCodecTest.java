package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RespCodecTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<List<String>> all(RespCodec.Reader reader, byte[]... pieces)
      throws RespCodec.Fault {
    List<List<String>> out = new ArrayList<>();
    for (byte[] piece : pieces) {
      ByteBuffer from = ByteBuffer.wrap(piece);
      List<String> words;
      while ((words = reader.next(from)) != null) {
        out.add(words);
      }
      assertEquals(0, from.remaining());
    }
    return out;
  }

  @Test
  void writesWhatThePageShows() {
    assertEquals(
        "*2\r\n$4\r\nping\r\n$3\r\né0\r\n",
        new String(RespCodec.encode(List.of("ping", "é0")), StandardCharsets.UTF_8));
  }

  @Test
  void aMessageSplitAtEveryByteIsTheSame() throws Exception {
    List<String> words =
        List.of("heard", "zone", "Île", "server", "s-1", "load", "", "tries", "\r\n$3");
    byte[] two =
        bytes(
            new String(RespCodec.encode(words), StandardCharsets.UTF_8)
                + new String(RespCodec.encode(List.of("ping")), StandardCharsets.UTF_8));
    for (int cut = 0; cut <= two.length; cut++) {
      byte[] head = java.util.Arrays.copyOf(two, cut);
      byte[] tail = java.util.Arrays.copyOfRange(two, cut, two.length);
      assertEquals(
          List.of(words, List.of("ping")),
          all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), head, tail),
          "cut at " + cut);
    }
    byte[][] single = new byte[two.length][];
    for (int k = 0; k < two.length; k++) {
      single[k] = new byte[] {two[k]};
    }
    assertEquals(
        List.of(words, List.of("ping")),
        all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), single));
  }

  @Test
  void severalInOneReadComeOneByOne() throws Exception {
    byte[] ping = RespCodec.encode(List.of("ping"));
    byte[] many = new byte[ping.length * 50];
    for (int k = 0; k < 50; k++) {
      System.arraycopy(ping, 0, many, k * ping.length, ping.length);
    }
    assertEquals(50, all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), many).size());
  }

  /** 1 MiB fits, its headers counted; one byte more does not. */
  @Test
  void theLimitIsOneMebibyte() throws Exception {
    int head = RespCodec.encode(List.of("x".repeat(1_000_000))).length - 1_000_000;
    String fits = "x".repeat(RespCodec.MAX_MESSAGE_BYTES - head);
    assertEquals(
        List.of(List.of(fits)),
        all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), RespCodec.encode(List.of(fits))));
    byte[] over = RespCodec.encode(List.of(fits + "x"));
    RespCodec.Fault e =
        assertThrows(
            RespCodec.Fault.class,
            () -> all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), over));
    assertEquals(RespCodec.Fault.Kind.TOO_LONG, e.kind());
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "GET / HTTP/1.1@,MALFORMED",
        "*-1@,MALFORMED",
        "*0@,MALFORMED",
        "*x@,MALFORMED",
        "*1@+ping@,MALFORMED",
        "*1@$-1@,MALFORMED",
        "*1@$4@pingXX,MALFORMED",
        "*1@$1048577@,TOO_LONG",
        "*1048577@,TOO_LONG",
        "*00000000000000000000001@,MALFORMED",
        "PING@,MALFORMED"
      })
  void whatIsNotRespEndsTheConnection(String text, RespCodec.Fault.Kind kind) {
    byte[] raw = bytes(text.replace("@", "\r\n"));
    assertEquals(
        kind,
        assertThrows(
                RespCodec.Fault.class,
                () -> all(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES), raw))
            .kind());
  }

  /**
   * Guards the memory against many connections that each announce much and never finish: what all
   * hold unfinished is bounded, and an ended one gives its part back.
   */
  @Test
  void unfinishedMessagesAreBoundedTogether() throws Exception {
    byte[] part = bytes("*1\r\n$1000000\r\n" + "x".repeat(900_000));
    List<RespCodec.Reader> readers = new ArrayList<>();
    RespCodec.Fault fault = null;
    for (int k = 0; k < 12 && fault == null; k++) {
      RespCodec.Reader one = new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES);
      readers.add(one);
      try {
        assertNull(one.next(ByteBuffer.wrap(part)));
      } catch (RespCodec.Fault e) {
        fault = e;
      }
    }
    assertEquals(RespCodec.Fault.Kind.TOO_LONG, fault.kind());
    // Guards a good connection against being the one that is hit: its messages are small.
    byte[] small = RespCodec.encode(List.of("ping", "x".repeat(1000)));
    assertEquals(
        1,
        all(
                new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES),
                java.util.Arrays.copyOf(small, 500),
                java.util.Arrays.copyOfRange(small, 500, small.length))
            .size());
    readers.forEach(RespCodec.Reader::close);
    assertNull(
        new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES).next(ByteBuffer.wrap(bytes("*1\r\n"))));
  }

  /**
   * Nor may hundreds hold a little too much each: nobody's messages are so long that he needs it.
   */
  @Test
  void manyUnfinishedMessagesOfSomeKilobytesAreBoundedToo() throws Exception {
    byte[] part = bytes("*1\r\n$60000\r\n" + "x".repeat(30_000));
    List<RespCodec.Reader> readers = new ArrayList<>();
    int ended = 0;
    for (int k = 0; k < 600; k++) {
      readers.add(new RespCodec.Reader(RespCodec.MAX_MESSAGE_BYTES));
      try {
        assertNull(readers.get(k).next(ByteBuffer.wrap(part)));
      } catch (RespCodec.Fault e) {
        assertEquals(RespCodec.Fault.Kind.TOO_LONG, e.kind());
        readers.get(k).close();
        ended++;
      }
    }
    readers.forEach(RespCodec.Reader::close);
    assertTrue(ended >= 600 - (8 << 20) / 30_000, ended + " of 600 ended");
  }

  /** A stranger may not announce what a proxy may. */
  @Test
  void aReaderHasItsOwnLimit() throws Exception {
    RespCodec.Reader one = new RespCodec.Reader(100);
    byte[] over = RespCodec.encode(List.of("x".repeat(200)));
    assertEquals(
        RespCodec.Fault.Kind.TOO_LONG,
        assertThrows(RespCodec.Fault.class, () -> all(one, over)).kind());
    RespCodec.Reader later = new RespCodec.Reader(100);
    later.setMaxMessageBytes(RespCodec.MAX_MESSAGE_BYTES);
    assertEquals(1, all(later, over).size());
  }
}
