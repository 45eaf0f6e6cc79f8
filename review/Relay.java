import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Relays TCP connections to one address. While it is cut, it holds all bytes back without a reset. */
final class Relay implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final String target;
    final String address;
    volatile boolean isCut;

    Relay(String target) throws IOException {
        this.target = target;
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 200);
        address = "127.0.0.1:" + listener.getLocalPort();
        threads.submit(this::accept);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                sockets.add(near);
                threads.submit(() -> open(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void open(Socket near) {
        waitWhileCut();
        int colon = target.indexOf(':');
        try {
            Socket far = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
            sockets.add(far);
            threads.submit(() -> copy(near, far));
            copy(far, near);
        } catch (IOException e) {
            closeQuietly(near);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                waitWhileCut();
                out.write(buffer, 0, count);
                out.flush();
            }
            waitWhileCut();
        } catch (IOException e) {
            // One side closed the connection.
        }
    }

    private void waitWhileCut() {
        while (isCut && !listener.isClosed()) Harness.sleep(10);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(Relay::closeQuietly);
        threads.shutdownNow();
    }
}
