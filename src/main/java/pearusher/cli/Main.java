package pearusher.cli;

import java.io.BufferedInputStream;
import java.io.FileInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import pearusher.Rules;
import pearusher.adapter.Loop;
import pearusher.adapter.WireException;
import pearusher.serve.Serve;

/** The command line: {@code pearusher adapter} for the simulator, {@code pearusher serve} for sockets. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length == 1 && "serve".equals(args[0])) {
            System.exit(Serve.run(System.getenv(), Rules::new));
        }
        if (args.length != 1 || !"adapter".equals(args[0])) {
            System.err.println("usage: java -jar pearusher.jar adapter|serve");
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
