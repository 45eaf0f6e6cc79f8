import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What all cases share: threads, free ports, and the gateways as processes with the command of the deploy file. */
final class Bed {
    private static final List<Process> started = new CopyOnWriteArrayList<>();

    private Bed() {
    }

    interface Work {
        void run() throws Exception;
    }

    /** Makes sure that all processes are ended and that an error counts as a case that couldn't run; call first. */
    static void begin() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Process::destroyForcibly)));
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            cause.printStackTrace();
            exit(2);
        });
    }

    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The connection or the run has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends all processes that were started, and this one with [code]. */
    static void exit(int code) {
        for (Process process : started) process.destroyForcibly();
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        System.out.println("exit " + code);
        Runtime.getRuntime().halt(code);
    }

    private static int freePort(String host, int above) throws IOException {
        for (int port = above + 1; port < 60_000; port++) {
            try (ServerSocket tcp = new ServerSocket()) {
                tcp.setReuseAddress(true);
                tcp.bind(new InetSocketAddress(InetAddress.getByName(host), port));
                try (DatagramSocket udp = new DatagramSocket(new InetSocketAddress(host, port))) {
                    return port;
                }
            } catch (IOException e) {
                // In use.
            }
        }
        throw new IOException("no free port at " + host);
    }

    /** A gateway at an address of its own. */
    static final class Gateway {
        final String name;
        final String host;
        final int caller;
        final int ready;
        final int peer;
        private final Path settings;
        private final Path log;
        private Process process;

        Gateway(String name, String zone, String host, String store, Path folder, String extra) throws IOException {
            this(name, zone, host, store, folder, extra, 6);
        }

        Gateway(String name, String zone, String host, String store, Path folder, String extra, int graceS)
            throws IOException {
            this.name = name;
            this.host = host;
            caller = freePort(host, 18_380);
            ready = freePort(host, caller);
            int directory = freePort(host, ready);
            peer = freePort(host, 17_200);
            int metrics = freePort(host, peer);
            settings = folder.resolve(name + ".yaml");
            log = folder.resolve(name + ".log");
            Files.writeString(settings, "instance: \"" + name + "\"\nzone: \"" + zone + "\"\nzones:\n"
                + "  - { name: \"sofia-a\", region: \"sofia\" }\n"
                + "  - { name: \"plovdiv-a\", region: \"plovdiv\" }\n"
                + "  - { name: \"varna-a\", region: \"varna\" }\n"
                + "addresses:\n  caller: \"" + host + ":" + caller + "\"\n  ready: \"" + host + ":" + ready + "\"\n"
                + "  directory: \"" + host + ":" + directory + "\"\n  store: \"" + store + "\"\n  host: \"" + host + "\"\n"
                + "internalPorts: [" + peer + ", " + metrics + "]\n"
                + "bounds:\n  stopS: " + graceS + "\n  retryRatio: 0.2\n  retryAllowance: 58\n  retryWindowS: 10\n  largestShift: 0.15\n"
                + "machine:\n  memoryMb: 430\n  linkMbps: 1000.0\n" + extra);
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            List<String> words = new ArrayList<>(List.of(command.substring(command.indexOf('"') + 1,
                command.lastIndexOf('"')).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("CARDAMOMWHARF_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            started.add(process);
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket(host, ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
                Message answer = Message.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits until the gateway is ready; the case can't run if it isn't. */
        void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300 && !isReady(); i++) Thread.sleep(100);
            if (!isReady()) {
                System.out.println(name + " isn't ready");
                exit(2);
            }
        }
    }
}
