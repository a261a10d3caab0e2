package pearusher.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteBufferFeeder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * Reads lists of servers from bytes as they come, one JSON object after the other, and keeps only
 * the records of the servers: memory follows what a list names, not how it is written. One reader
 * serves one answer of discovery, on one thread. What is malformed is told at the end of the
 * object, what is over the limit at once.
 */
public final class EndpointListReader {
  private static final String NAME = "list";

  /**
   * Bytes that a character may be written with: an escape such as a backslash, u and four digits.
   */
  private static final int MOST_BYTES_PER_CHARACTER = 6;

  private final WireNames names;
  private final EndpointListLimits limits;
  private final JsonFactory factory;

  /** Null before the first byte of an object. */
  private JsonParser parser;

  private EndpointListBuilder builder;
  private SettingsException fault;

  /** Bytes since the last token: the parser holds them. */
  private long unfinished;

  /** Nothing came since the last object but, at most, a carriage return. */
  private boolean empty = true;

  public EndpointListReader(WireNames names, EndpointListLimits limits) {
    this.names = names;
    this.limits = limits;
    factory = factory(limits);
  }

  private static JsonFactory factory(EndpointListLimits limits) {
    // No table of field names: a text with new ones without end would fill it.
    return JsonFactory.builder()
        .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
        .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
        .streamReadConstraints(
            StreamReadConstraints.builder().maxStringLength(limits.maxTextLength()).build())
        .build();
  }

  /** Takes what the buffer has left. */
  public void feed(ByteBuffer piece) throws EndpointListTooLongException {
    if (!piece.hasRemaining()) {
      return;
    }
    empty =
        empty && parser == null && piece.remaining() == 1 && piece.get(piece.position()) == '\r';
    if (fault == null) {
      try {
        parse(piece);
      } catch (EndpointListTooLongException e) {
        reset();
        throw e;
      } catch (SettingsException e) {
        spoilt(e);
      } catch (IOException e) {
        spoilt(PathValues.malformed(NAME, e));
      }
    }
    piece.position(piece.limit());
  }

  private void parse(ByteBuffer piece) throws IOException, SettingsException {
    open();
    unfinished += piece.remaining();
    ((ByteBufferFeeder) parser.getNonBlockingInputFeeder()).feedInput(piece);
    take();
    // The parser itself measures a number only once it ends.
    if (unfinished > (long) limits.maxTextLength() * MOST_BYTES_PER_CHARACTER) {
      throw new SettingsException(
          NAME + ": malformed JSON: a value of over " + unfinished + " bytes");
    }
  }

  /** The object at hand has a fault, which its end will tell. */
  boolean spoilt() {
    return fault != null;
  }

  /** What the object still brings is passed over. */
  private void spoilt(SettingsException why) {
    reset();
    empty = false;
    fault = why;
  }

  private void open() throws IOException {
    if (parser == null) {
      parser = factory.createNonBlockingByteBufferParser();
      builder = new EndpointListBuilder(NAME, "", names, limits);
    }
  }

  private void take() throws IOException, SettingsException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE) {
      unfinished = 0;
      builder.token(token, parser);
      token = parser.nextToken();
    }
  }

  /** The line ends here: what it held, null where it was empty. The next byte begins another. */
  public EndpointList endOfLine() throws SettingsException {
    if (empty) {
      reset();
      return null;
    }
    return endOfBody();
  }

  /** The answer ends here: what it held. */
  public EndpointList endOfBody() throws SettingsException {
    try {
      if (fault == null) {
        open();
        ((ByteBufferFeeder) parser.getNonBlockingInputFeeder()).endOfInput();
        take();
      }
      if (fault != null) {
        throw fault;
      }
      if (!builder.done()) {
        throw EndpointListBuilder.notAnObject(NAME);
      }
      return builder.listing();
    } catch (IOException e) {
      throw PathValues.malformed(NAME, e);
    } finally {
      reset();
    }
  }

  private void reset() {
    JsonParser old = parser;
    parser = null;
    builder = null;
    fault = null;
    unfinished = 0;
    empty = true;
    if (old != null) {
      try {
        old.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /**
   * The list that a configuration holds under a key, an empty one where it holds none. The text
   * must be known to be well formed; faults name the document and the key.
   */
  public static EndpointList under(
      String document, String key, InputStream text, WireNames names, EndpointListLimits limits)
      throws IOException, SettingsException {
    EndpointListBuilder found = null;
    try (JsonParser in = factory(limits).createParser(text)) {
      in.nextToken();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        boolean wanted = in.currentName().equals(key);
        if (in.nextToken() == JsonToken.START_OBJECT && wanted) {
          found = new EndpointListBuilder(document, key + ".", names, limits);
          fill(found, in);
        } else {
          in.skipChildren();
        }
      }
    } catch (EndpointListTooLongException e) {
      throw new EndpointListTooLongException(
          document + ": the key " + key + ".instances names " + e.getMessage());
    }
    return found != null && found.hasGeneration() ? found.listing() : EndpointList.EMPTY;
  }

  private static void fill(EndpointListBuilder builder, JsonParser in)
      throws IOException, SettingsException {
    for (JsonToken token = in.currentToken(); token != null; token = in.nextToken()) {
      builder.token(token, in);
      if (builder.done()) {
        return;
      }
    }
  }
}
