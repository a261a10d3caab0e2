package pearusher.protocol;

import pearusher.sitesettings.SettingsException;

/** A list that names more servers than the heap holds; the text names the limit. */
public final class EndpointListTooLongException extends SettingsException {
  private static final long serialVersionUID = 1L;

  EndpointListTooLongException(String text) {
    super(text);
  }
}
