import java.nio.file.Path;
import java.util.List;

/** Runs a script: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
abstract class Script {

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Plays the case and returns the breaks of the rule. */
    abstract List<String> play(Cluster cluster, Record record) throws Exception;

    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    static void require(boolean condition, String otherwise) {
        if (!condition) {
            throw new CannotRun(otherwise);
        }
    }

    final void run(String folder) throws Exception {
        Record record = new Record(Path.of(folder, "record.txt"));
        int code = 2;
        Cluster cluster = new Cluster(record);
        Thread end =
                new Thread(
                        () -> {
                            try {
                                cluster.close();
                            } catch (java.io.IOException exception) {
                                record.line("close: " + exception);
                            }
                        });
        Runtime.getRuntime().addShutdownHook(end);
        try {
            record.line("trouble " + (trouble ? "on" : "off"));
            List<String> breaks = play(cluster, record);
            breaks.forEach(each -> record.line("BROKEN " + each));
            breaks.forEach(System.out::println);
            code = breaks.isEmpty() ? 0 : 1;
        } catch (CannotRun exception) {
            record.line("could not run: " + exception.getMessage());
            System.out.println("could not run: " + exception.getMessage());
        } catch (Exception exception) {
            record.line("could not run: " + exception);
            exception.printStackTrace();
        }
        record.line("exit " + code);
        System.out.println("exit " + code);
        System.exit(code);
    }
}
