package pearusher.cli;

import java.io.BufferedInputStream;
import java.io.FileInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import pearusher.Rules;
import pearusher.adapter.Loop;
import pearusher.adapter.WireException;

/** The command line: {@code pearusher adapter}. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !"adapter".equals(args[0])) {
            System.err.println("usage: java -jar pearusher.jar adapter");
            System.exit(2);
        }
        int status = 0;
        try (BufferedInputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in));
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Loop(Rules::new).run(in, out);
        } catch (WireException | IOException e) {
            System.err.println("pearusher: " + e.getMessage());
            status = 1;
        }
        System.exit(status);
    }
}
