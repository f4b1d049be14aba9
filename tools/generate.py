"""Generate dataclasses from the schemas; the result is committed."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ("messages",)


def generate(name):
    """Write ``cranberryport/generated/{name}.py`` from ``schema/{name}.json``."""
    generator = pathlib.Path(sys.executable).parent / "datamodel-codegen"
    command = [str(generator), "--input", str(ROOT / "schema" / f"{name}.json")]
    command += ["--output", str(ROOT / "cranberryport" / "generated" / f"{name}.py")]
    command += ["--input-file-type", "jsonschema"]
    command += ["--output-model-type", "dataclasses.dataclass"]
    command += ["--dataclass-arguments", '{"slots": true, "kw_only": true}']
    command += ["--target-python-version", "3.11", "--use-schema-description"]
    command += ["--use-field-description", "--enum-field-as-literal", "all"]
    command += [
        "--formatters",
        "builtin",
        "--disable-timestamp",
        "--use-standard-collections",
    ]
    command += ["--use-union-operator", "--disable-future-imports"]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    for schema_name in NAMES:
        generate(schema_name)
