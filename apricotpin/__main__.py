"""Entry point of the program."""

from gevent import monkey

monkey.patch_all()

from apricotpin.cli import main  # noqa: E402

if __name__ == '__main__':
    main()
